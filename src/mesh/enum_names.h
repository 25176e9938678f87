/** Looks up the name of an enumerator in the table declared next to its enum. */
#pragma once

#include <cstddef>
#include <string_view>

namespace copperlead::mesh
{

/** @param names  one name for each enumerator, in declaration order */
template <typename Enum, std::size_t count>
constexpr std::string_view nameOf (Enum value, const std::string_view (&names)[count])
{
    return names[static_cast<std::size_t> (value)];
}

} // namespace copperlead::mesh
