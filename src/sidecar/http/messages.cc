#include "sidecar/http/messages.h"

#include <algorithm>
#include <utility>

#include "proxy/forwarded_headers.h"

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t estimatedHeadBytes = 512; // Avoids reallocation for typical messages.

void append (std::string& message, std::string_view name, std::string_view value)
{
    message.append (name).append (": ").append (value).append ("\r\n");
}

void append (std::string& message, const HeaderFields& fields)
{
    for (const auto& field : fields)
        append (message, field.name, field.value);
}

} // namespace

HeaderFields forwardedFields (const HeaderFields& received, const HeaderNames& names)
{
    auto fields = ForwardedRequestFields (received);
    std::erase_if (fields,
                   [&] (const HeaderField& field)
                   {
                       const auto matches = [&] (const std::string& name)
                       { return EqualsIgnoringCase (field.name, name); };
                       return matches (names.deadline) || matches (names.expectInstance) ||
                              matches (names.caller) || matches (names.requestId) ||
                              matches (names.credential) || matches (names.tenant);
                   });
    return fields;
}

HeaderFields forwardedAnswerFields (const HeaderFields& received)
{
    auto fields = ForwardedResponseFields (received);
    std::erase_if (fields, [] (const HeaderField& field)
                   { return EqualsIgnoringCase (field.name, "Content-Length"); });
    return fields;
}

Message requestMessage (std::string_view method, std::string_view target,
                        const HeaderFields& fields, Body body)
{
    std::string message;
    message.reserve (estimatedHeadBytes);
    message.append (method).append (1, ' ').append (target).append (" HTTP/1.1\r\n");
    append (message, fields);

    if (! body.empty() || (method != "GET" && method != "HEAD"))
        append (message, "Content-Length", std::to_string (body.size()));

    message.append ("\r\n");
    return Message (std::move (message), std::move (body));
}

Message answerMessage (const AnswerParts& parts, const HeaderFields& fields)
{
    auto withoutBody = parts;
    withoutBody.body = {};
    return answerMessage (withoutBody, fields, Body (std::string (parts.body)));
}

Message answerMessage (const AnswerParts& parts, const HeaderFields& fields, Body body)
{
    std::string message;
    message.reserve (estimatedHeadBytes);
    message.append ("HTTP/1.1 ").append (std::to_string (parts.status)).append (1, ' ');
    message.append (parts.reason.empty() ? reasonPhrase (parts.status) : parts.reason);
    message.append ("\r\n");
    append (message, fields);

    const auto length = body.length();

    if (parts.status != 204 && parts.status != 304 && ! parts.isHead)
    {
        if (length)
            append (message, "Content-Length", std::to_string (*length));
        else if (! parts.isOldClient)
            append (message, "Transfer-Encoding", "chunked");
    }

    if (parts.close || (! length && parts.isOldClient))
        append (message, "Connection", "close");

    message.append ("\r\n");
    Message made (std::move (message), parts.isHead ? Body() : std::move (body));
    made.isChunked = ! made.body.length() && ! parts.isOldClient;
    return made;
}

Message localAnswer (int status, std::string_view cause, const HeaderFields& fields, bool close,
                     bool isHead)
{
    auto all = fields;
    all.push_back ({ "Content-Type", "text/plain" });
    const auto text = std::string (cause) + "\n";
    return answerMessage ({ status, {}, text, close, isHead }, all);
}

Message plainAnswer (int status, std::string_view cause)
{
    return localAnswer (status, cause, {}, true, false);
}

std::string_view reasonPhrase (int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Other";
    }
}

std::string_view onlyValue (const HeaderFields& fields, std::string_view name)
{
    const auto values = ValuesOf (fields, name);
    return values.size() == 1 ? values[0] : std::string_view();
}

} // namespace copperlead::sidecar
