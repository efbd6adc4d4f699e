// Support for immutable value types.
//
// A value type is a class whose state is set when it is made. FESCUEPOND_FIELD declares one field of it: the private
// member, a reader of the field's name, and a function that returns a copy with that one field changed. Each value
// type defaults operator== or operator<=>, which then covers all of its fields.

#pragma once

#include <utility>

/// Declares the field `name` of an immutable value type; `withName` returns a changed copy.
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
