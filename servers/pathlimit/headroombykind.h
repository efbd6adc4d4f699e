// Path headroom for backend servers whose calls don't name the call they are made for (their parent).
//
// A request that makes several calls in turn to an overloaded service fails with the first one that is rejected there,
// and the work already done for it is wasted; so its entry node must learn the headroom downstream. If child calls name
// their parent, the parent's answer reports the headroom that their answers reported. Otherwise the headroom is known
// for each kind of call that leaves this VM, but not for which kind of parent. The parent kinds are inferred from
// failures: a backend server answers with a server error right after a call that it depends on has failed. A kind whose
// server errors follow the failures of a child kind often enough counts as a parent kind of it, and its answers report
// the headroom of that child kind.

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
    /// Records the outcome of a call of `childKind` whose parent isn't known. `headroom` is 0 if the answer reported
    /// none.
    void childCompleted(const std::string &childKind, double headroom, bool isFailed, TimePoint now);
    /// Attributes a server error, the answer to a call of `kind` that ran here, to the latest recent child failure.
    /// Returns whether that failure counts as the cause: `kind` is a known parent kind of the failed child's kind.
    bool attributeServerError(const std::string &kind, TimePoint now);
    /// The lowest headroom of the child kinds of `kind`; 0 if unknown.
    double headroomFor(const std::string &kind, TimePoint now) const;

private:
    struct Failure {
        std::string m_childKind;
        TimePoint m_at;
    };
    struct ChildKind {
        double m_headroom = 0; ///< Moving average; 0: none reported yet.
        TimePoint m_updatedAt;
        double m_failures = 0; ///< Not less than any count in m_failuresByParent.
        std::map<std::string, double> m_failuresByParent; ///< By the kind whose server errors followed the failures.
    };

    static bool isParentKind(const ChildKind &child, const std::string &kind);

    std::deque<Failure> m_failures; ///< Without an attributed server error so far, the oldest first.
    std::map<std::string, ChildKind> m_children;
};

} // namespace fescuepond
