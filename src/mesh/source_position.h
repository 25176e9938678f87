/** Position in the change history of the discovery source. */
#pragma once

#include <compare>
#include <cstdint>

namespace copperlead::mesh
{

/** Orders changes of the source. A revision alone is ambiguous: a source that is restored from a
    backup loses its latest changes and reuses their revisions in the next epoch.
*/
struct SourcePosition
{
    std::uint64_t epoch = 0; /**< Incremented each time the source is restored. */
    std::uint64_t revision = 0;

    auto operator<=> (const SourcePosition&) const = default;

    /** False while no revision of the source is known. Revision 0 of the first epoch counts as
        unknown, since nothing may have been written yet. In a later one, the source was restored
        from an empty backup.
    */
    bool isKnown() const { return revision > 0 || epoch > firstEpoch; }

    static constexpr std::uint64_t firstEpoch = 1;
};

template <typename Archive>
void serialize (Archive& archive, SourcePosition& position)
{
    archive (position.epoch, position.revision);
}

} // namespace copperlead::mesh
