// Names of the collections and objects that the system keeps in the platform's object store.

#pragma once

namespace fescuepond::collection
{

constexpr const char *Configuration = "configuration";
/// The only object in the collection Configuration.
constexpr const char *CurrentConfiguration = "current";
/// One object per node, under the node's name.
constexpr const char *Nodes = "nodes";
/// One object per key chosen by a caller; it names the key's owner.
constexpr const char *Keys = "keys";

} // namespace fescuepond::collection
