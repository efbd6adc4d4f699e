// Messages of the peer topic Configuration, encoded as JSON.

#include "modules/configuration/exchangeencoding.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace fescuepond
{

namespace
{

std::string toText(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
}

} // namespace

std::string toJson(const ExchangeRequest &request)
{
    Poco::JSON::Object object;
    object.set("version", request.version());
    object.set("address", request.address());
    object.set("store_era", request.storeEra());
    if (request.asksForStandIn()) {
        object.set("stand_in", true);
    }
    return toText(object);
}

std::string toJson(const ExchangeReply &reply)
{
    Poco::JSON::Object object;
    object.set("version", reply.version());
    object.set("text", reply.text());
    object.set("store_era", reply.storeEra());
    return toText(object);
}

std::optional<ExchangeRequest> exchangeRequestFromJson(const std::string &text)
{
    try {
        const auto object = parseObject(text);
        return ExchangeRequest()
            .withVersion(object->getValue<Poco::UInt64>("version"))
            .withAddress(object->getValue<std::string>("address"))
            .withAsksForStandIn(object->optValue("stand_in", false))
            .withStoreEra(object->optValue<Poco::UInt64>("store_era", 0));
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

std::optional<ExchangeReply> exchangeReplyFromJson(const std::string &text)
{
    try {
        const auto object = parseObject(text);
        return ExchangeReply()
            .withVersion(object->getValue<Poco::UInt64>("version"))
            .withText(object->getValue<std::string>("text"))
            .withStoreEra(object->optValue<Poco::UInt64>("store_era", 0));
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace fescuepond
