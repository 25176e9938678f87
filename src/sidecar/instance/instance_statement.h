/** Reads what an instance states about itself in the header of an answer: the rate of requests that
    it accepts, and that it leaves.
*/
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "proxy/http_message.h"
#include "sidecar/header_names.h"

namespace copperlead::sidecar
{

/** A field whose value can't be used. */
struct UnusableField
{
    std::string name;
    std::string value; /**< The beginning of the first value. */
};

/** What an answer states about its instance. */
struct InstanceStatement
{
    /** Requests per second that the instance accepts from all nodes together; nothing if it states
        no limit.
    */
    std::optional<double> requestsPerSecond;
    bool hasUnusableLimit = false; /**< It states a limit whose value can't be used. */
    bool leaving = false;
    std::vector<UnusableField> unusable; /**< Fields that are ignored. */
};

/** Reads the fields of an answer. A repeated field and one with a malformed value are unusable: a
    limit is a decimal number without a sign or an exponent, and a leaving instance sends "1".
*/
InstanceStatement statementOf (const HeaderFields& fields, const HeaderNames& names);

} // namespace copperlead::sidecar
