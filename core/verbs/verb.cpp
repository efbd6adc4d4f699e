// Subcommands of the command line: registration and error output.

#include "core/verbs/verb.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <exception>

namespace fescuepond
{

namespace
{

std::vector<VerbDescription> &registry()
{
    static std::vector<VerbDescription> verbs;
    return verbs;
}

} // namespace

VerbRegistration::VerbRegistration(VerbDescription verb)
{
    auto &verbs = registry();
    const auto position = std::lower_bound(verbs.begin(), verbs.end(), verb, [](const auto &a, const auto &b) {
        return a.name < b.name;
    });
    verbs.insert(position, std::move(verb));
}

ExitCode reportFindings(const std::function<Result<ExitCode>()> &body)
{
    return boost::leaf::try_handle_all(
        body,
        [](const Findings &findings) {
            fmt::print(stderr, "{}", toString(findings));
            return ExitCode::Findings;
        },
        [](boost::leaf::catch_<std::exception> error) {
            fmt::print(stderr, "unexpected error: {}\n", error.matched.what());
            return ExitCode::Findings;
        },
        [](const boost::leaf::error_info &error) {
            fmt::print(stderr, "unexpected error {}\n", error.error().value());
            return ExitCode::Findings;
        });
}

const std::vector<VerbDescription> &registeredVerbs()
{
    return registry();
}

} // namespace fescuepond
