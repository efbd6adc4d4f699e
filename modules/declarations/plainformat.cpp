// The configuration format of the environment `plain`: the text that `fescuepond publish` writes to the object store.

#include "core/kernel/strategy.h"
#include "core/pipeline/collections.h"
#include "core/pipeline/configurationformat.h"
#include "modules/declarations/configurationencoding.h"

namespace fescuepond
{

namespace
{

class PlainFormat final : public ConfigurationFormat
{
public:
    std::string collection() const override
    {
        return fescuepond::collection::Configuration;
    }
    std::string object() const override
    {
        return fescuepond::collection::CurrentConfiguration;
    }
    Result<Configuration> read(const std::string &text) const override
    {
        return readConfiguration(text);
    }
};

const StrategyRegistration<ConfigurationFormat> registration("plain", [] {
    return std::make_unique<PlainFormat>();
});

} // namespace

} // namespace fescuepond
