// Header sections of HTTP/1 messages, parsed by Boost.Beast.

#include "modules/http/messageheader.h"

#include "modules/http/httpmessage.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <cctype>
#include <limits>

namespace fescuepond
{

namespace
{

namespace beast = boost::beast;
using beast::error_code;
using Poco::Net::MessageException;

constexpr std::string_view LineEnd = "\r\n";
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7F;
constexpr int MinStatus = 100;
constexpr int MinFinalStatus = 200; ///< Lower ones are followed by another response.
constexpr int MaxStatus = 999;

/// Keeps what Beast finds in a header section. The framing and the body are read by other code.
template<bool isRequest>
class HeaderParser final : public beast::http::basic_parser<isRequest>
{
public:
    HeaderParser()
    {
        this->skip(true);
        this->header_limit(std::numeric_limits<std::uint32_t>::max());
        this->body_limit(boost::none);
    }

    std::string method;
    std::string target;
    int version = 0; ///< Ten times the major version plus the minor one.
    int status = 0;
    HeaderFields fields;

private:
    using Text = beast::string_view;

    void on_request_impl(beast::http::verb, Text name, Text path, int number, error_code &error) override
    {
        method = name;
        target = path;
        version = number;
        error = {};
    }
    void on_response_impl(int code, Text, int number, error_code &error) override
    {
        status = code;
        version = number;
        error = {};
    }
    void on_field_impl(beast::http::field, Text name, Text value, error_code &error) override
    {
        fields.emplace_back(name, value);
        error = {};
    }
    void on_header_impl(error_code &error) override
    {
        error = {};
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &error) override
    {
        error = {};
    }
    std::size_t on_body_impl(Text, error_code &error) override
    {
        error = {};
        return 0;
    }
    void on_chunk_header_impl(std::uint64_t, Text, error_code &error) override
    {
        error = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t, Text, error_code &error) override
    {
        error = {};
        return 0;
    }
    void on_finish_impl(error_code &error) override
    {
        error = {};
    }
};

/// Whether a line is continued on the next one. Beast joins such lines, which changes the value.
bool hasFoldedLine(std::string_view text)
{
    return text.find("\r\n ") != std::string_view::npos || text.find("\r\n\t") != std::string_view::npos;
}

template<bool isRequest>
void parse(HeaderParser<isRequest> &parser, std::string_view text)
{
    if (hasFoldedLine(text)) {
        throw MessageException("a header line is folded");
    }
    error_code error;
    const std::size_t parsed = parser.put(boost::asio::buffer(text.data(), text.size()), error);
    if (error) {
        throw MessageException("the header is malformed: " + error.message());
    }
    if (!parser.is_header_done() || parsed != text.size()) {
        throw MessageException("the header does not end with its only empty line");
    }
}

int minorVersion(int version)
{
    constexpr int MajorFactor = 10;
    return version % MajorFactor;
}

bool isTokenCharacter(unsigned char c)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return c < Delete && (std::isalnum(c) != 0 || Marks.find(static_cast<char>(c)) != std::string_view::npos);
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isTarget(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > FirstPrintable && c != Delete;
    });
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return (c >= FirstPrintable && c != Delete) || c == '\t';
    });
}

void require(bool condition, const char *part)
{
    if (!condition) {
        throw UnwritableHeader(part);
    }
}

std::string fieldLines(const HeaderFields &fields)
{
    std::string lines;
    for (const auto &[name, value] : fields) {
        require(isToken(name), "the name of a header");
        require(isFieldValue(value), "the value of a header");
        lines.append(name).append(": ").append(value).append(LineEnd);
    }
    return lines;
}

/// Whether a comma-separated list has `option`, which must be in lower case.
bool hasOption(const std::string &list, std::string_view option)
{
    const std::string lower = toLower(list);
    std::size_t begin = 0;
    while (begin <= lower.size()) {
        const std::size_t end = std::min(lower.find(',', begin), lower.size());
        const std::size_t first = lower.find_first_not_of(" \t", begin);
        const std::size_t last = lower.find_last_not_of(" \t", end == 0 ? 0 : end - 1);
        if (first < end && lower.substr(first, last + 1 - first) == option) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

} // namespace

UnwritableHeader::UnwritableHeader(const std::string &part)
    : MessageException(part + " has characters that HTTP doesn't allow there")
{
}

RequestHeader readRequestHeader(std::string_view text)
{
    HeaderParser<true> parser;
    parse(parser, text);
    return RequestHeader()
        .withMethod(std::move(parser.method))
        .withTarget(std::move(parser.target))
        .withMinorVersion(minorVersion(parser.version))
        .withFields(std::move(parser.fields));
}

ResponseHeader readResponseHeader(std::string_view text)
{
    HeaderParser<false> parser;
    parse(parser, text);
    if (parser.status < MinStatus) {
        throw MessageException("the status is not a number from 100 to 999");
    }
    return ResponseHeader()
        .withStatus(parser.status)
        .withMinorVersion(minorVersion(parser.version))
        .withFields(std::move(parser.fields));
}

std::string toText(const RequestHeader &header)
{
    require(isToken(header.method()), "the method");
    require(isTarget(header.target()), "the path");
    std::string text = header.method() + " " + header.target() + " HTTP/1.1";
    return text.append(LineEnd).append(fieldLines(header.fields())).append(LineEnd);
}

std::string toText(const ResponseHeader &header)
{
    require(header.status() >= MinFinalStatus && header.status() <= MaxStatus, "the status");
    const auto reason = beast::http::obsolete_reason(static_cast<beast::http::status>(header.status()));
    std::string text = "HTTP/1.1 " + std::to_string(header.status()) + " ";
    text.append(reason.data(), reason.size());
    return text.append(LineEnd).append(fieldLines(header.fields())).append(LineEnd);
}

Headers toHeaders(const HeaderFields &fields)
{
    Headers headers;
    for (const auto &[name, value] : fields) {
        const auto [entry, isNew] = headers.emplace(toLower(name), value);
        if (!isNew) {
            entry->second.append(", ").append(value);
        }
    }
    return headers;
}

HeaderFields toEndToEndFields(const Headers &headers)
{
    HeaderFields fields;
    for (const auto &[name, value] : headers) {
        if (!isHopByHop(toLower(name))) {
            fields.emplace_back(name, value);
        }
    }
    return fields;
}

bool isKeptAlive(int minorVersion, const Headers &headers)
{
    const std::string options = valueOf(headers, "connection");
    return minorVersion >= CurrentMinorVersion ? !hasOption(options, "close") : hasOption(options, "keep-alive");
}

} // namespace fescuepond
