// A request that stands inside a header of another one, which is a valid HTTP request; and, for comparison, one inside
// the body of a request whose Content-Length has a blank before the colon.

#include "review/support/support.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

using namespace review;

namespace
{

constexpr const char *DesiredState =
    R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","kind","timeout_s","aim_s","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[)"
    R"(["r-price","price.example","/price/","safe",1,1.5,1,null,2,"pricing"],)"
    R"(["r-book","book.example","/book/","unsafe",1.2,3,0,null,2,"pricing"]]},)"
    R"("services":{"columns":["name","health_path","max_connections","protocol","tls"],)"
    R"("rows":[["pricing","/health",532,"h1",false]]},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},)"
    R"("base_version":"00000005"})";
constexpr int Rounds = 5;

/// The text as an encoded word (RFC 2047), which consists of characters that any header value may have.
std::string encodedWord(const std::string &text)
{
    std::string word = "=?UTF-8?Q?";
    for (const unsigned char c : text) {
        std::array<char, 4> code{};
        if (std::isalnum(c) == 0) {
            std::snprintf(code.data(), code.size(), "=%02X", c);
        } else {
            code[0] = static_cast<char>(c);
        }
        word += code.data();
    }
    return word + "?=";
}

/// The bytes of one order. `inHeader` is the value of its header X-Note.
std::string orderBytes(const std::string &attempt,
                       const std::string &inHeader,
                       const std::string &lengthName,
                       const std::string &body)
{
    std::string bytes = "POST /book/truck HTTP/1.1\r\nHost: book.example\r\nFescuepond-Attempt-Id: ";
    bytes.append(attempt).append("\r\nFescuepond-Deadline-Ms: 3000\r\nX-Note: ").append(inHeader).append("\r\n");
    return bytes.append(lengthName).append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

/// Sends one request and records the answers; returns whether it could be sent.
bool sendOne(int port, Record &record, const std::string &what, const std::string &bytes)
{
    const auto connection = Connection::open(port);
    if (!connection || !connection->send(bytes)) {
        return false;
    }
    record.add("client: one request, " + what);
    while (const auto answer = connection->receiveMessage(milliseconds(1000))) {
        record.add("client: answer " + answer->startLine + ", attempt " + answer->header("Fescuepond-Attempt-Id"));
    }
    return true;
}

long countRun(const std::vector<std::string> &attempts, const std::vector<Arrival> &arrivals)
{
    return static_cast<long>(std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival &arrival) {
        return std::find(attempts.begin(), attempts.end(), arrival.attempt) != attempts.end();
    }));
}

} // namespace

int main(int, char **argv)
{
    limitRun(100);
    Record record(argv[1]);
    Folder folder;
    Store store;
    store.writeDesiredState(DesiredState);
    Target target(record, "pricing", "i-price");
    Node node(folder.path(), "node-a", "pricing", target.port(), store.port());
    if (!startOneByOne({&node})) {
        return ExitCouldNotRun;
    }
    target.startReports(node.ports().control);
    const int port = node.ports().outbound;
    if (!waitUntilServed(port, {.host = "price.example", .path = "/price/list"}, milliseconds(15'000))) {
        return ExitCouldNotRun;
    }
    std::vector<std::string> inHeader;
    std::vector<std::string> inBody;
    for (int i = 0; i < Rounds; ++i) {
        inHeader.push_back("header" + newAttempt());
        std::string note = "quarry 7";
        if (hasTrouble()) {
            note = "a\r\nHost: book.example\r\nContent-Length: 0\r\n\r\nPOST /book/hidden HTTP/1.1\r\n";
            note.append("Fescuepond-Attempt-Id: ").append(inHeader.back());
            note.append("\r\nFescuepond-Deadline-Ms: 1000\r\nX-Rest: b");
        }
        const std::string attempt = newAttempt();
        const bool isSent = sendOne(port,
                                    record,
                                    attempt + ", X-Note: " + encodedWord(note),
                                    orderBytes(attempt, encodedWord(note), "Content-Length: ", "truck"));
        inBody.push_back("body" + newAttempt());
        const std::string body = bytesOf({.method = "POST",
                                          .host = "book.example",
                                          .path = "/book/hidden",
                                          .attempt = inBody.back(),
                                          .body = "truck"});
        const std::string name = hasTrouble() ? "Content-Length : " : "Content-Length: ";
        const std::string second = newAttempt();
        std::string what = second;
        what.append(", '").append(name).append("'");
        const bool isSecondSent = sendOne(port, record, what, orderBytes(second, "quarry 7", name, body));
        if (!isSent || !isSecondSent) {
            return ExitCouldNotRun;
        }
    }
    const long runsOfHeader = countRun(inHeader, target.arrivals());
    const long runsOfBody = countRun(inBody, target.arrivals());
    const std::string summary = "requests that were run, of " + std::to_string(Rounds)
        + " each: inside a header of a valid request " + std::to_string(runsOfHeader)
        + "; inside the body of a request with 'Content-Length :' " + std::to_string(runsOfBody);
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    return runsOfHeader > 0 ? ExitBroken : ExitHeld;
}
