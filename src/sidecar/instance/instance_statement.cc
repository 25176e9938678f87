#include "sidecar/instance/instance_statement.h"

#include <algorithm>
#include <charconv>

namespace copperlead::sidecar
{
namespace
{

constexpr std::string_view leavingValue = "1";
constexpr std::size_t maxLimitLength = 32;
constexpr std::size_t maxLoggedLength = 64;

/** @returns nothing unless the text is a decimal number such as "25" or "0.5" */
std::optional<double> parseDecimal (std::string_view text)
{
    const auto isDigit = [] (char c) { return c >= '0' && c <= '9'; };
    const auto points = std::count (text.begin(), text.end(), '.');
    const auto digits = std::count_if (text.begin(), text.end(), isDigit);

    if (text.size() > maxLimitLength || points > 1 || digits == 0 ||
        points + digits != std::ssize (text))
        return std::nullopt;

    double number = 0;
    std::from_chars (text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

InstanceStatement statementOf (const HeaderFields& fields, const HeaderNames& names)
{
    InstanceStatement statement;
    const auto limits = ValuesOf (fields, names.rateLimit);
    const auto leaving = ValuesOf (fields, names.leaving);
    const auto ignore = [&] (const std::string& name, std::string_view value) {
        statement.unusable.push_back ({ name, std::string (value.substr (0, maxLoggedLength)) });
    };

    if (limits.size() == 1)
        statement.requestsPerSecond = parseDecimal (limits[0]);

    statement.hasUnusableLimit = ! limits.empty() && ! statement.requestsPerSecond;

    if (statement.hasUnusableLimit)
        ignore (names.rateLimit, limits[0]);

    statement.leaving = leaving.size() == 1 && leaving[0] == leavingValue;

    if (! leaving.empty() && ! statement.leaving)
        ignore (names.leaving, leaving[0]);

    return statement;
}

} // namespace copperlead::sidecar
