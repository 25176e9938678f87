/** Builds the HTTP/1.1 messages that a node sends. Performs no I/O. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "proxy/http_message.h"
#include "sidecar/header_names.h"
#include "sidecar/http/body.h"

namespace copperlead::sidecar
{

/** @returns the header fields of a client's request that are forwarded to the instance, without
             hop-by-hop fields and without those that the system sets itself, even if the client
             sent them
*/
HeaderFields forwardedFields (const HeaderFields& received, const HeaderNames& names);

/** @returns the end-to-end fields of a response except Content-Length, which answerMessage() adds
 */
HeaderFields forwardedAnswerFields (const HeaderFields& received);

/** Builds a request. Content-Length is added unless a GET or HEAD request has no body. */
Message requestMessage (std::string_view method, std::string_view target,
                        const HeaderFields& fields, Body body);

struct AnswerParts
{
    int status = 200;
    std::string_view reason;
    std::string_view body;
    bool close = false;
    bool isHead = false;
    bool isOldClient = false; /**< The client speaks HTTP/1.0 and knows no chunks. */
};

/** Builds a response.
    @param fields  the end-to-end fields; the framing is added
*/
Message answerMessage (const AnswerParts& parts, const HeaderFields& fields);

/** Builds a response that shares a body, whose length may not be known yet.
    @param parts  have no body themselves
*/
Message answerMessage (const AnswerParts& parts, const HeaderFields& fields, Body body);

/** Builds a plain-text response that this node generates itself. */
Message localAnswer (int status, std::string_view cause, const HeaderFields& fields, bool close,
                     bool isHead);

/** Builds such a response without further fields, after which the connection closes. */
Message plainAnswer (int status, std::string_view cause);

std::string_view reasonPhrase (int status);

/** @returns the value of the only field with that name; empty if there are none or several */
std::string_view onlyValue (const HeaderFields& fields, std::string_view name);

} // namespace copperlead::sidecar
