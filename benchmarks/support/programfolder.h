// A build folder whose nodes may come from another build.

#pragma once

#include <string>

namespace fescuepond::benchmark
{

/// While it exists, fleets start the program `fescuepond` of one build folder and the stand-ins of the own one: a
/// folder with links to both stands in for the build folder (FESCUEPOND_BUILD). One exists at a time.
class ProgramFolder
{
public:
    /// `buildFolder` is the folder with the program `fescuepond`; empty: the own build folder. Throws if there is no
    /// such program.
    explicit ProgramFolder(const std::string &buildFolder);
    ~ProgramFolder();
    ProgramFolder(const ProgramFolder &) = delete;
    ProgramFolder &operator=(const ProgramFolder &) = delete;

private:
    const std::string m_ownBuildFolder;
    std::string m_folder;
};

} // namespace fescuepond::benchmark
