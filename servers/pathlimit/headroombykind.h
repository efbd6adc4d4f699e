// Room further down for calls whose children don't name their parent.
//
// Answers to load that lies further down: a request that makes several calls in turn at a narrow service is lost with
// the first one that is refused there, and so is the work done for it. Where children name their parent, the room that
// their answers tell goes up with the parent's own answer. Where they don't, it is known for each kind of call that
// leaves this VM, but not for whom it was made. The failures tell: a backend server answers with a server error right
// after a call that it needed has failed. Kinds for which that is seen often enough count as callers of the failed
// kind, and are told its room.

#pragma once

#include "core/kernel/clock.h"

#include <deque>
#include <map>
#include <string>

namespace fescuepond
{

class HeadroomByKind
{
public:
    /// A call of `childKind`, whose parent is not known, has ended. `room` is 0 when the answer didn't say it.
    void childCompleted(const std::string &childKind, double headroom, bool isFailed, TimePoint now);
    /// A call of `kind` that ran here was answered with a server error; tells whether a failed child is the cause.
    bool attributeServerError(const std::string &kind, TimePoint now);
    /// The least room for the calls that calls of `kind` make; 0: unknown.
    double headroomFor(const std::string &kind, TimePoint now) const;

private:
    struct Failure {
        std::string m_childKind;
        TimePoint m_at;
    };
    struct ChildKind {
        double m_headroom = 0; ///< Moving average; 0: not told yet.
        TimePoint m_updatedAt;
        double m_failures = 0; ///< Not less than any count in m_parents.
        std::map<std::string, double> m_failuresByParent; ///< Failures that each kind's server error followed.
    };

    static bool isParentKind(const ChildKind &child, const std::string &kind);

    std::deque<Failure> m_failures; ///< Those that no server error has followed yet, the oldest first.
    std::map<std::string, ChildKind> m_children;
};

} // namespace fescuepond
