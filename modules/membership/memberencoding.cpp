// Encoding of member records and departures as JSON, for objects at the platform.

#include "modules/membership/memberencoding.h"

#include "core/settings/settingformat.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace fescuepond
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string textField(const Object::Ptr &object, const char *field)
{
    const Poco::Dynamic::Var value = object->get(field);
    if (!value.isString()) {
        throw Poco::DataFormatException(field, "not a string");
    }
    return value.convert<std::string>();
}

Array::Ptr toArray(const Departures &departures)
{
    Array::Ptr array = new Array;
    for (const Departure &departure : departures) {
        Object::Ptr entry = new Object;
        entry->set("instance", departure.instance());
        entry->set("started_at_ms", departure.startedAtMs());
        entry->set("departed_at_ms", departure.departedAtMs());
        array->add(entry);
    }
    return array;
}

std::optional<Departure> departureFrom(const Object::Ptr &entry)
{
    try {
        return Departure()
            .withInstance(textField(entry, "instance"))
            .withStartedAtMs(entry->getValue<Poco::UInt64>("started_at_ms"))
            .withDepartedAtMs(entry->getValue<Poco::UInt64>("departed_at_ms"));
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string toJson(const Member &member, const Departures &departures)
{
    Object object;
    object.set("name", member.name());
    object.set("started_at_ms", member.startedAtMs());
    object.set("incarnation", member.incarnation().toString());
    object.set("sequence", member.sequence());
    object.set("state", static_cast<int>(member.state()));
    object.set("service", member.service());
    object.set("zone", member.zone());
    object.set("region", member.region());
    object.set("peer_address", member.peerAddress());
    object.set("configuration_version", member.configurationVersion());
    object.set("serving", member.isServing());
    object.set("slots", member.slots());
    if (!departures.empty()) {
        object.set("departures", toArray(departures));
    }
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::optional<Member> memberFromJson(const std::string &text)
{
    try {
        const auto object = Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
        const auto incarnation = Incarnation::parse(textField(object, "incarnation"));
        const int state = object->getValue<int>("state");
        const auto peerAddress = textField(object, "peer_address");
        const auto endpoint = parseEndpoint(peerAddress);
        const bool isValid = incarnation && state >= 0 && state <= static_cast<int>(MemberState::Dead) && endpoint
            && endpoint->port != 0;
        if (!isValid) {
            return std::nullopt;
        }
        return Member()
            .withName(textField(object, "name"))
            .withStartedAtMs(object->getValue<Poco::UInt64>("started_at_ms"))
            .withIncarnation(*incarnation)
            .withSequence(object->getValue<Poco::UInt64>("sequence"))
            .withState(static_cast<MemberState>(state))
            .withService(textField(object, "service"))
            .withZone(textField(object, "zone"))
            .withRegion(textField(object, "region"))
            .withPeerAddress(peerAddress)
            .withConfigurationVersion(object->getValue<Poco::UInt64>("configuration_version"))
            .withIsServing(object->getValue<bool>("serving"))
            .withSlots(object->getValue<std::uint32_t>("slots"));
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

Departures departuresFromJson(const std::string &text)
{
    try {
        const auto object = Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
        const Array::Ptr array = object->getArray("departures");
        Departures departures;
        for (unsigned i = 0; array && i < array->size(); ++i) {
            const Object::Ptr entry = array->getObject(i);
            const auto departure = entry ? departureFrom(entry) : std::nullopt;
            if (departure) {
                departures.push_back(*departure);
            }
        }
        return departures;
    } catch (const Poco::Exception &) {
        return {};
    }
}

} // namespace fescuepond
