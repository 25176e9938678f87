#include "sidecar/instance/instance_answer.h"

#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{
namespace
{

using mesh::HopCause;
using mesh::HopOutcome;

constexpr int misdirectedStatus = 421; // The instance is not the one that was addressed.

InstanceVerdict judgeCompleteAnswer (const CallResult& result, const HeaderNames& names)
{
    const auto& fields = result.head.fields;
    const int status = result.head.status;

    if (status == misdirectedStatus)
        return { HopOutcome::rejected, HopCause::otherInstance };

    if (! ValuesOf (fields, names.notRun).empty())
        return { HopOutcome::rejected, HopCause::instanceRejected };

    const bool success = status >= 200 && status < 300;
    const bool isSigned = ! onlyValue (fields, names.signature).empty();
    const bool isEncoded = ! ValuesOf (fields, "Content-Encoding").empty();

    if (success && (! isSigned || isEncoded))
        return { HopOutcome::unknown, HopCause::answerBroken };

    return { HopOutcome::ran, HopCause::none };
}

} // namespace

InstanceVerdict judgeInstanceAnswer (const CallResult& result, const HeaderNames& names)
{
    switch (result.end)
    {
    case CallEnd::notConnected:
        return { HopOutcome::notRun, HopCause::instanceDown };
    case CallEnd::broken:
        return { HopOutcome::unknown, HopCause::answerBroken };
    case CallEnd::answered:
        return judgeCompleteAnswer (result, names);
    default:
        return { HopOutcome::unknown, HopCause::answerLost };
    }
}

} // namespace copperlead::sidecar
