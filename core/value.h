// Support for immutable value types.
//
// The state of a value object never changes after construction. FESCUEPOND_FIELD declares one field of a value type:
// the private member, a getter with the field's name, and a function that returns a copy with this field changed. Each
// value type defaults operator== or operator<=>, which then compares all of its fields.

#pragma once

#include <utility>

/// Declares the field `name` of an immutable value type; `withName` returns a copy with a new value for it.
#define FESCUEPOND_FIELD(Type, name, withName)                                                                         \
public:                                                                                                                \
    [[nodiscard]] const Type &name() const                                                                             \
    {                                                                                                                  \
        return m_##name;                                                                                               \
    }                                                                                                                  \
    [[nodiscard]] auto withName(Type name) const                                                                       \
    {                                                                                                                  \
        auto copy = *this;                                                                                             \
        copy.m_##name = std::move(name);                                                                               \
        return copy;                                                                                                   \
    }                                                                                                                  \
                                                                                                                       \
private:                                                                                                               \
    Type m_##name = {}
