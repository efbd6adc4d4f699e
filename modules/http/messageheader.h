// Header sections of HTTP/1 messages. All readers and writers of HTTP in the program use these functions.
//
// What a reader accepts is exactly what was sent: nothing is decoded and no lines are joined. What it can't accept so,
// it rejects, and a writer rejects whatever a reader would not read back unchanged. A header therefore never turns into
// more headers, a body or another message on its way through the program (request smuggling, response splitting).

#pragma once

#include "core/value.h"
#include "core/values/call.h"

#include <Poco/Net/NetException.h>

#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuepond
{

/// Header fields in the order of the message; a name may occur several times.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// The minor version of HTTP/1.1; the other one that is read is 0.
constexpr int CurrentMinorVersion = 1;

class RequestHeader
{
    FESCUEPOND_FIELD(std::string, method, withMethod);
    FESCUEPOND_FIELD(std::string, target, withTarget); ///< Path and query.
    FESCUEPOND_FIELD(int, minorVersion, withMinorVersion);
    FESCUEPOND_FIELD(HeaderFields, fields, withFields);

public:
    friend auto operator<=>(const RequestHeader &, const RequestHeader &) = default;
};

class ResponseHeader
{
    FESCUEPOND_FIELD(int, status, withStatus);
    FESCUEPOND_FIELD(int, minorVersion, withMinorVersion);
    FESCUEPOND_FIELD(HeaderFields, fields, withFields);

public:
    friend auto operator<=>(const ResponseHeader &, const ResponseHeader &) = default;
};

/// A header that a reader would not read back as it is, such as one with a line end in a value. Nothing of it was sent.
class UnwritableHeader final : public Poco::Net::MessageException
{
public:
    explicit UnwritableHeader(const std::string &part);
};

/// Reads a header section that ends with an empty line. Throws a Poco::Net::MessageException if it is malformed.
RequestHeader readRequestHeader(std::string_view text);
ResponseHeader readResponseHeader(std::string_view text);

/// The header section with the empty line that ends it. The version is always HTTP/1.1. Throws UnwritableHeader.
std::string toText(const RequestHeader &header);
std::string toText(const ResponseHeader &header);

/// The fields by lower-case name. Values of fields with the same name are joined with commas (RFC 9110, 5.2).
Headers toHeaders(const HeaderFields &fields);
/// The fields of a message that is written with a length of its own: without those that concern one connection only.
HeaderFields toEndToEndFields(const Headers &headers);

/// Whether the sender of a message keeps the connection open after it. `headers` have lower-case names.
bool isKeptAlive(int minorVersion, const Headers &headers);

} // namespace fescuepond
