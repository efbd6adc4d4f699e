// Names of the collections and objects that the system keeps in the platform's service.

#pragma once

namespace fescuepond::collection
{

constexpr const char *Configuration = "configuration";
/// The one object of the collection Configuration.
constexpr const char *CurrentConfiguration = "current";
/// One object for each node, by its name.
constexpr const char *Nodes = "nodes";
/// One object for each key that a caller chose, naming its home.
constexpr const char *Keys = "keys";

} // namespace fescuepond::collection
