// Starts, configures and stops the processes of a fleet on loopback.

#include "tests/support/fleet.h"

#include "tests/support/eventually.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace fescuepond::test
{

namespace
{

/// Build folder of scripts/build.sh, relative to the root of the repository.
constexpr const char *DefaultBuildFolder = "build";
constexpr auto ReadyTimeout = std::chrono::seconds(10);
constexpr auto VerbTimeout = std::chrono::seconds(30);

/// Path of a program in the build folder, which the environment variable FESCUEPOND_BUILD can set.
std::string programPath(const std::string &program)
{
    const char *folder = std::getenv("FESCUEPOND_BUILD");
    return std::string(folder == nullptr ? DefaultBuildFolder : folder) + "/" + program;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::size_t occurrenceCount(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

bool isReady(const FleetNode &node, std::size_t count)
{
    HttpCall call;
    call.path = "/status";
    const HttpReply reply = sendHttp(node.operatorAddress, call);
    const bool hasConfiguration = reply.body.find("\"configuration_version\": 0,") == std::string::npos;
    // The page has the node's own state in addition to the list of members, which contains the node as well.
    return reply.status == 200 && hasConfiguration && occurrenceCount(reply.body, "\"state\": \"alive\"") == count + 1;
}

/// Names the node's local listener to its backend stand-in, if it has one.
void setLocalAddress(const FleetNode &node, const std::string &address)
{
    if (!node.backendProcess) {
        return;
    }
    HttpCall call;
    call.method = "POST";
    call.path = "/set?local=" + address;
    sendHttp(node.backendControl, call);
}

/// Whether `node` has the record with which `member` advertises that it serves. The object at the platform is written
/// before that, with sequence 0, and a call to a member known by it alone is rejected with no-target.
bool hasServingRecord(const FleetNode &node, const std::string &member)
{
    std::istringstream lines(node.process->output());
    const std::string change = "event=member_changed member=" + member + " state=alive ";
    for (std::string line; std::getline(lines, line);) {
        if (line.find(change) != std::string::npos && valueIn(line, "sequence") != "0") {
            return true;
        }
    }
    return false;
}

} // namespace

std::string HttpReply::outcome() const
{
    const auto found = headers.find("x-fescuepond-outcome");
    return found == headers.end() ? "" : found->second;
}

HttpReply sendHttp(const std::string &address, const HttpCall &call)
{
    HttpReply reply;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(std::chrono::microseconds(call.timeout).count()));
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPRequest::HTTP_1_1);
        if (!call.host.empty()) {
            request.setHost(call.host);
        }
        for (const auto &[name, value] : call.headers) {
            request.set(name, value);
        }
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        session.sendRequest(request) << call.body;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), reply.body);
        const auto declared = response.getContentLength64();
        if (declared >= 0 && reply.body.size() != static_cast<std::size_t>(declared)) {
            return {};
        }
        for (const auto &[name, value] : response) {
            reply.headers[lower(name)] = value;
        }
        reply.status = response.getStatus();
    } catch (const Poco::Exception &) {
        return {};
    }
    return reply;
}

std::vector<std::string> FleetNode::journalLines(const std::string &prefix) const
{
    std::vector<std::string> lines;
    std::ifstream stream(journal);
    std::string line;
    while (std::getline(stream, line)) {
        if (line.starts_with(prefix)) {
            lines.push_back(line);
        }
    }
    return lines;
}

Fleet::Fleet()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "fescuepond-test-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    m_platformProcess = std::make_unique<Process>(
        programPath("tests/platformstandin"), std::vector<std::string>{}, m_folder + "/platform.log");
    const std::string line = m_platformProcess->waitForLine("address=");
    m_platform = valueIn(line, "address");
    m_platformControl = valueIn(line, "control");
}

Fleet::~Fleet()
{
    for (const auto &node : m_nodes) {
        node->process.reset();
        node->backendProcess.reset();
    }
    m_platformProcess.reset();
    const bool isKept = std::getenv("FESCUEPOND_KEEP_LOGS") != nullptr;
    if (!isKept) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
}

void Fleet::setPlatformMode(const std::string &query) const
{
    controlPlatform("/mode?" + (query.empty() ? "up" : query));
}

void Fleet::controlPlatform(const std::string &command) const
{
    HttpCall call;
    call.method = "POST";
    call.path = command;
    sendHttp(m_platformControl, call);
}

std::map<std::string, int> Fleet::platformCallCounts() const
{
    HttpCall call;
    call.path = "/counts";
    std::istringstream lines(sendHttp(m_platformControl, call).body);
    std::map<std::string, int> counts;
    std::string operation;
    int count = 0;
    while (lines >> operation >> count) {
        counts[operation] = count;
    }
    return counts;
}

int Fleet::runVerb(const std::vector<std::string> &arguments, std::string *output) const
{
    const std::string file = m_folder + "/verb-" + std::to_string(std::rand()) + ".log";
    Process process(programPath("fescuepond"), arguments, file);
    const auto code = process.wait(VerbTimeout);
    if (output != nullptr) {
        *output = process.output();
    }
    return code.value_or(-1);
}

int Fleet::publish(const std::vector<std::string> &declarations)
{
    const std::string folder = m_folder + "/publish-" + std::to_string(++m_publishCount);
    std::filesystem::create_directory(folder);
    int number = 0;
    for (const std::string &text : declarations) {
        std::ofstream(folder + "/" + std::to_string(++number) + ".fescuepond.yaml") << text;
    }
    // --replace: services that were published before and are not among the texts are removed.
    return runVerb({"publish", "--platform=" + m_platform, "--replace", folder});
}

FleetNode &Fleet::addNode(const NodeOptions &options)
{
    auto node = std::make_unique<FleetNode>();
    node->options = options;
    if (options.startsBackend) {
        startBackend(*node);
    }
    startNode(*node);
    m_nodes.push_back(std::move(node));
    return *m_nodes.back();
}

void Fleet::startBackend(FleetNode &node)
{
    const NodeOptions &options = node.options;
    node.journal = m_folder + "/" + options.name + ".journal";
    std::vector<std::string> flags = {"--name=" + options.name, "--journal=" + node.journal};
    flags.insert(flags.end(), options.backendFlags.begin(), options.backendFlags.end());
    node.backendProcess = std::make_unique<Process>(
        programPath("tests/backendstandin"), flags, m_folder + "/" + options.name + "-backend.log");
    const std::string line = node.backendProcess->waitForLine("address=");
    node.backend = valueIn(line, "address");
    node.backendControl = valueIn(line, "control");
}

void Fleet::restartNode(FleetNode &node)
{
    node.process.reset();
    startNode(node);
}

void Fleet::startNode(FleetNode &node)
{
    const std::string base = m_folder + "/" + node.options.name + "-" + std::to_string(++m_processCount);
    std::ofstream settings(base + ".yaml");
    settings << "name: " << node.options.name << "\nservice: " << node.options.service
             << "\nzone: " << node.options.zone << "\nbackend_address: "
             << (node.options.backendAddress.empty() ? node.backend : node.options.backendAddress)
             << "\nplatform_address: " << (node.options.platform.empty() ? m_platform : node.options.platform) << '\n';
    for (const char *listener : {"front", "local", "operator"}) {
        settings << listener << "_address: 127.0.0.1:0\n";
    }
    settings << "peer_address: " << node.options.peerAddress << '\n';
    for (const std::string &line : node.options.settings) {
        settings << line << '\n';
    }
    settings.close();
    // The new process listens on other ports. The backend stand-in holds back its own calls until the new address of
    // the local listener is set.
    setLocalAddress(node, "");
    node.process = std::make_unique<Process>(
        programPath("fescuepond"), std::vector<std::string>{"node", "--settings=" + base + ".yaml"}, base + ".log");
    node.process->waitForLine("event=node_started");
    const auto addressOf = [&](const std::string &listener) {
        return valueIn(node.process->waitForLine("event=listening listener=" + listener), "address");
    };
    node.front = addressOf("front");
    node.local = addressOf("local");
    node.peer = addressOf("peer");
    node.operatorAddress = addressOf("operator");
    setLocalAddress(node, node.local);
}

bool Fleet::waitUntilReady(std::size_t count) const
{
    const auto hasServingRecords = [this](const FleetNode &observer) {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
            return !node->process || hasServingRecord(observer, node->options.name);
        });
    };
    return waitForNodes([&](const FleetNode &node) {
        return isReady(node, count) && hasServingRecords(node);
    });
}

bool Fleet::waitUntilListed(std::size_t count) const
{
    return waitForNodes([&](const FleetNode &node) {
        return isReady(node, count);
    });
}

bool Fleet::waitForNodes(const std::function<bool(const FleetNode &node)> &condition) const
{
    return eventually(ReadyTimeout, [&] {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
            return !node->process || condition(*node);
        });
    });
}

} // namespace fescuepond::test
