// A build folder that consists of links to the nodes' program of one build and to the stand-ins of another.

#include "benchmarks/support/programfolder.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace fescuepond::benchmark
{

namespace
{

constexpr const char *BuildVariable = "FESCUEPOND_BUILD";
/// Build folder of scripts/build.sh, relative to the root of the repository.
constexpr const char *DefaultBuildFolder = "build";

std::string ownBuildFolder()
{
    const char *folder = std::getenv(BuildVariable);
    return folder == nullptr ? DefaultBuildFolder : folder;
}

} // namespace

ProgramFolder::ProgramFolder(const std::string &buildFolder)
    : m_ownBuildFolder(ownBuildFolder())
{
    namespace fs = std::filesystem;
    const fs::path program = fs::absolute(buildFolder.empty() ? m_ownBuildFolder : buildFolder) / "fescuepond";
    if (!fs::exists(program)) {
        throw std::runtime_error("there is no program " + program.string());
    }
    std::string pattern = (fs::temp_directory_path() / "fescuepond-build-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    fs::create_symlink(program, fs::path(m_folder) / "fescuepond");
    fs::create_symlink(fs::absolute(m_ownBuildFolder) / "tests", fs::path(m_folder) / "tests");
    setenv(BuildVariable, m_folder.c_str(), 1);
}

ProgramFolder::~ProgramFolder()
{
    setenv(BuildVariable, m_ownBuildFolder.c_str(), 1);
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

} // namespace fescuepond::benchmark
