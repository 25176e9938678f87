/** Builds the HTTP/1.1 messages that a node writes. No I/O. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "proxy/http_message.h"
#include "sidecar/header_names.h"

namespace copperlead::sidecar
{

/** The fields of a client's request that go on to the instance: without those of one connection and
    without those that the system sets itself, whatever the client sent.
*/
HeaderFields forwardedFields (const HeaderFields& received, const HeaderNames& names);

/** The end-to-end fields of an answer, without its length, which answerMessage() writes. */
HeaderFields forwardedAnswerFields (const HeaderFields& received);

std::string requestMessage (std::string_view method, std::string_view target,
                            const HeaderFields& fields, std::string_view body);

struct AnswerParts
{
    int status = 200;
    std::string_view reason;
    std::string_view body;
    bool close = false;
    bool isHead = false;
};

/** @param fields  end-to-end fields; the framing is added */
std::string answerMessage (const AnswerParts& parts, const HeaderFields& fields);

/** An answer of the node's own, in plain text. */
std::string ownAnswer (int status, std::string_view cause, const HeaderFields& fields, bool close,
                       bool isHead);

/** The same without further fields; its connection closes. */
std::string plainAnswer (int status, std::string_view cause);

std::string_view reasonPhrase (int status);

/** @returns the value of the only field of that name; empty when there is none or several */
std::string_view onlyValue (const HeaderFields& fields, std::string_view name);

} // namespace copperlead::sidecar
