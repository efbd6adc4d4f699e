// Encoding of member records as JSON, for objects at the platform.

#include "modules/membership/memberencoding.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace fescuepond
{

std::string toJson(const Member &member)
{
    Poco::JSON::Object object;
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
        const auto object = Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
        const auto incarnation = Incarnation::parse(object->getValue<std::string>("incarnation"));
        const int state = object->getValue<int>("state");
        if (!incarnation || state < 0 || state > static_cast<int>(MemberState::Dead)) {
            return std::nullopt;
        }
        return Member()
            .withName(object->getValue<std::string>("name"))
            .withStartedAtMs(object->getValue<Poco::UInt64>("started_at_ms"))
            .withIncarnation(*incarnation)
            .withSequence(object->getValue<Poco::UInt64>("sequence"))
            .withState(static_cast<MemberState>(state))
            .withService(object->getValue<std::string>("service"))
            .withZone(object->getValue<std::string>("zone"))
            .withRegion(object->getValue<std::string>("region"))
            .withPeerAddress(object->getValue<std::string>("peer_address"))
            .withConfigurationVersion(object->getValue<Poco::UInt64>("configuration_version"))
            .withIsServing(object->getValue<bool>("serving"))
            .withSlots(object->getValue<std::uint32_t>("slots"));
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace fescuepond
