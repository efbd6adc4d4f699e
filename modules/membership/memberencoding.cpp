// Encoding of member records as JSON, for objects at the platform.

#include "modules/membership/memberencoding.h"

#include "core/settings/settingformat.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace fescuepond
{

namespace
{

using Poco::JSON::Object;

std::string textField(const Object::Ptr &object, const char *field)
{
    const Poco::Dynamic::Var value = object->get(field);
    if (!value.isString()) {
        throw Poco::DataFormatException(field, "not a string");
    }
    return value.convert<std::string>();
}

} // namespace

std::string toJson(const Member &member)
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

} // namespace fescuepond
