#include "mesh/hop_header.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace copperlead::mesh
{
namespace
{

/** Returns whether a character can stand in a value: it ends neither this nor the header field. */
bool isPlain (char c) { return c > ' ' && c < '\x7f' && c != ';'; }

/** Name of the pair that holds a value with escaped characters. */
std::string escapedNameOf (std::string_view name) { return std::string (name) + "*"; }

/** Appends pairs. */
class Writer
{
public:
    /** Adds a value that may hold any text. If it has characters that can't stand in a value, they
        are replaced by '_', and the exact value follows in a pair of its own; nodes of earlier
        releases read the first one only.
    */
    void addText (std::string_view name, std::string_view value)
    {
        add (name, value);

        if (! std::all_of (value.begin(), value.end(), isPlain))
            addEscaped (escapedNameOf (name), value);
    }

    /** Characters that can't stand in a value are replaced by '_'. */
    void add (std::string_view name, std::string_view value)
    {
        if (! text.empty())
            text += ';';

        text.append (name).append (1, '=');

        for (const char c : value)
            text += isPlain (c) ? c : '_';
    }

    /** Adds a value that may hold any text. Characters that would end the value or the header field
        are escaped.
    */
    void addEscaped (std::string_view name, std::string_view value)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string escaped;

        for (const char c : value)
        {
            const auto byte = static_cast<unsigned char> (c);

            if (isPlain (c) && c != '%')
                escaped += c;
            else
                escaped.append (1, '%').append (1, digits[byte >> 4]).append (1, digits[byte & 15]);
        }

        add (name, escaped);
    }

    void add (std::string_view name, std::int64_t value) { add (name, std::to_string (value)); }

    void addDecimal (std::string_view name, double value)
    {
        std::array<char, 32> digits{};
        const auto end = std::to_chars (digits.begin(), digits.end(), value).ptr;
        add (name, std::string_view (digits.begin(), end));
    }

    void addMilliseconds (std::string_view name, double value)
    {
        add (name, static_cast<std::int64_t> (std::lround (value)));
    }

    std::string take() { return std::move (text); }

private:
    std::string text;
};

struct Pair
{
    std::string_view name, value;
};

/** @returns false when a pair has no '=' */
bool splitPairs (std::string_view text, std::vector<Pair>& pairs)
{
    while (! text.empty())
    {
        const auto pair = text.substr (0, text.find (';'));
        const auto equals = pair.find ('=');

        if (equals == std::string_view::npos)
            return false;

        pairs.push_back ({ pair.substr (0, equals), pair.substr (equals + 1) });
        text.remove_prefix (std::min (text.size(), pair.size() + 1));
    }

    return true;
}

bool parseInteger (std::string_view text, std::int64_t& value)
{
    const auto* const end = text.data() + text.size();
    const auto [stop, code] = std::from_chars (text.data(), end, value);
    return code == std::errc() && stop == end;
}

/** Returns the values of pairs by name and records whether any of them was malformed. */
class Reader
{
public:
    explicit Reader (std::string_view text) { valid = splitPairs (text, pairs); }

    /** Returns a text that was written by Writer::addText. */
    std::string exactText (std::string_view name)
    {
        const auto escaped = unescaped (escapedNameOf (name));
        return escaped.empty() ? text (name) : escaped;
    }

    std::string text (std::string_view name) const
    {
        for (const auto& pair : pairs)
            if (pair.name == name)
                return std::string (pair.value);

        return {};
    }

    /** Returns a text that was written by Writer::addEscaped. */
    std::string unescaped (std::string_view name)
    {
        const auto value = text (name);
        std::string plain;

        for (std::size_t i = 0; i < value.size(); ++i)
        {
            unsigned byte = 0;
            const auto* const digits = value.data() + i + 1;

            if (value[i] != '%')
                plain += value[i];
            else if (i + 2 < value.size() &&
                     std::from_chars (digits, digits + 2, byte, 16).ptr == digits + 2)
                plain += static_cast<char> (byte), i += 2;
            else
                valid = false;
        }

        return plain;
    }

    std::int64_t integer (std::string_view name)
    {
        const auto found = text (name);
        std::int64_t value = 0;

        if (! found.empty() && ! parseInteger (found, value))
            valid = false;

        return value;
    }

    /** @returns nothing if the pair is missing */
    std::optional<double> decimal (std::string_view name)
    {
        const auto found = text (name);

        if (found.empty())
            return std::nullopt;

        double value = 0;
        const auto* const end = found.data() + found.size();
        const auto [stop, code] = std::from_chars (found.data(), end, value);
        valid = valid && code == std::errc() && stop == end && std::isfinite (value) && value >= 0;
        return value;
    }

    bool isValid() const { return valid; }

private:
    std::vector<Pair> pairs;
    bool valid = true;
};

} // namespace

std::string encode (const HopRequest& request)
{
    Writer writer;
    writer.addText ("id", request.requestId);
    writer.addText ("service", request.service);
    writer.addText ("caller", request.callerService);
    writer.addText ("instance", request.instanceId);
    writer.addText ("route", request.route);
    writer.add ("left", request.timeLeft.count());
    writer.add ("target", request.targetLeft.count());
    writer.add ("priority", request.priority);
    writer.add ("may_repeat", request.mayRepeat ? 1 : 0);
    writer.add ("repeat", request.isRepeat ? 1 : 0);
    writer.addMilliseconds ("run", request.usualRunMs);

    if (! request.tenant.empty())
        writer.addEscaped ("tenant", request.tenant);

    if (request.statedLimit)
        writer.addDecimal ("limit", *request.statedLimit);

    return writer.take();
}

std::string encode (const HopReport& report)
{
    Writer writer;
    writer.add ("outcome", static_cast<std::int64_t> (report.outcome));
    writer.add ("cause", static_cast<std::int64_t> (report.cause));
    writer.addText ("instance", report.instanceId);
    writer.addMilliseconds ("load", report.load);
    writer.addMilliseconds ("run", report.runMs);
    writer.addMilliseconds ("took", report.tookMs);
    writer.addMilliseconds ("waited", report.waitedMs);
    writer.addMilliseconds ("body", report.bodyTransferMs);
    writer.add ("version", static_cast<std::int64_t> (report.configurationVersion));

    if (report.statedLimit)
        writer.addDecimal ("limit", *report.statedLimit);

    if (report.statedLeaving)
        writer.add ("leaving", 1);

    if (report.availableMs > 0)
        writer.addMilliseconds ("available", report.availableMs);

    return writer.take();
}

std::optional<HopRequest> decodeHopRequest (std::string_view text)
{
    Reader reader (text);
    HopRequest request;
    request.requestId = reader.exactText ("id");
    request.service = reader.exactText ("service");
    request.callerService = reader.exactText ("caller");
    request.instanceId = reader.exactText ("instance");
    request.route = reader.exactText ("route");
    request.timeLeft = Milliseconds (reader.integer ("left"));
    request.targetLeft = Milliseconds (reader.integer ("target"));
    request.priority = static_cast<int> (reader.integer ("priority"));
    request.mayRepeat = reader.integer ("may_repeat") == 1;
    request.isRepeat = reader.integer ("repeat") == 1;
    request.usualRunMs = static_cast<double> (reader.integer ("run"));
    request.tenant = reader.unescaped ("tenant");
    request.statedLimit = reader.decimal ("limit");

    if (! reader.isValid() || request.service.empty())
        return std::nullopt;

    return request;
}

std::optional<HopReport> decodeHopReport (std::string_view text)
{
    Reader reader (text);
    HopReport report;
    const auto outcome = reader.integer ("outcome");
    const auto cause = reader.integer ("cause");
    report.instanceId = reader.exactText ("instance");
    report.load = static_cast<double> (reader.integer ("load"));
    report.runMs = static_cast<double> (reader.integer ("run"));
    report.tookMs = static_cast<double> (reader.integer ("took"));
    report.waitedMs = static_cast<double> (reader.integer ("waited"));
    report.bodyTransferMs = static_cast<double> (reader.integer ("body"));
    report.configurationVersion = static_cast<std::uint64_t> (reader.integer ("version"));
    report.statedLimit = reader.decimal ("limit");
    report.statedLeaving = reader.integer ("leaving") == 1;
    report.availableMs = static_cast<double> (reader.integer ("available"));

    if (! reader.isValid() || outcome < 0 || outcome >= std::ssize (hopOutcomeNames) || cause < 0 ||
        cause >= std::ssize (hopCauseNames))
        return std::nullopt;

    report.outcome = static_cast<HopOutcome> (outcome);
    report.cause = static_cast<HopCause> (cause);
    return report;
}

} // namespace copperlead::mesh
