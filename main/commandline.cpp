// Parses the command line: a verb, its flags and its arguments.

#include "main/commandline.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

/// A word of the command line that begins with a dash, split at '='.
struct FlagWord {
    std::string name; ///< Dashes are replaced by underscores, as in the names of gflags.
    std::string value;
    bool hasValue = false;
};

FlagWord parseFlag(const std::string &word)
{
    const std::string bare = word.substr(word.starts_with("--") ? 2 : 1);
    const auto equals = bare.find('=');
    FlagWord flag;
    flag.name = bare.substr(0, equals);
    std::replace(flag.name.begin(), flag.name.end(), '-', '_');
    flag.hasValue = equals != std::string::npos;
    flag.value = flag.hasValue ? bare.substr(equals + 1) : "";
    return flag;
}

bool isHelp(const std::string &word)
{
    return word == "--help" || word == "-h";
}

bool isBoolFlag(const std::string &name)
{
    return gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type == "bool";
}

/// Parses the words after the verb into `line`.
class WordReader
{
public:
    WordReader(const std::vector<std::string> &words, CommandLine &line)
        : m_words(words)
        , m_line(line)
    {
    }

    void read()
    {
        bool flagsEnded = false;
        for (m_next = 1; m_next < m_words.size(); ++m_next) {
            const std::string &word = m_words[m_next];
            if (!flagsEnded && word == "--") {
                flagsEnded = true;
            } else if (!flagsEnded && isHelp(word)) {
                m_line.wantsHelp = true;
            } else if (!flagsEnded && word.size() > 1 && word.front() == '-') {
                readFlag(parseFlag(word));
            } else {
                m_line.arguments.push_back(word);
            }
        }
    }

private:
    void readFlag(FlagWord flag)
    {
        const auto &known = m_line.verb->flags;
        if (std::find(known.begin(), known.end(), flag.name) == known.end()) {
            m_line.errors.push_back(fmt::format("'{}' has no flag --{}", m_line.verb->name, flag.name));
            return;
        }
        if (!flag.hasValue && isBoolFlag(flag.name)) {
            flag.value = "true";
        } else if (!flag.hasValue) {
            if (m_next + 1 == m_words.size()) {
                m_line.errors.push_back(fmt::format("--{} needs a value", flag.name));
                return;
            }
            flag.value = m_words[++m_next];
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), flag.value.c_str()).empty()) {
            m_line.errors.push_back(fmt::format("--{} can't be '{}'", flag.name, flag.value));
        }
    }

    const std::vector<std::string> &m_words;
    CommandLine &m_line;
    std::size_t m_next = 0;
};

} // namespace

CommandLine parseCommandLine(const std::vector<std::string> &words)
{
    CommandLine line;
    if (words.empty()) {
        line.errors.emplace_back("no verb is given");
        return line;
    }
    if (isHelp(words.front())) {
        line.wantsHelp = true;
        return line;
    }
    const auto &verbs = registeredVerbs();
    const auto verb = std::find_if(verbs.begin(), verbs.end(), [&](const VerbDescription &candidate) {
        return candidate.name == words.front();
    });
    if (verb == verbs.end()) {
        line.errors.push_back(fmt::format("no verb '{}'", words.front()));
        return line;
    }
    line.verb = &*verb;
    WordReader(words, line).read();
    return line;
}

} // namespace fescuepond
