// Support for immutable value types.
//
// The state of a value object never changes after construction. FESCUEPOND_FIELD declares one field of a value type:
// the private member, a getter with the field's name, and a function that returns a copy with this field changed. A
// temporary object is moved into the result instead, so that a chain of such functions copies nothing. Each value type
// defaults operator== or operator<=>, which then compares all of its fields.
//
// Types whose functions are listed in tables of member pointers declare their fields with FESCUEPOND_LISTED_FIELD: its
// function isn't overloaded.

#pragma once

#include <compare>
#include <memory>
#include <utility>

namespace fescuepond::detail
{

/// A value that copies share. Compared by value.
template<typename T>
class SharedValue
{
public:
    SharedValue() = default;
    explicit SharedValue(T value)
        : m_value(std::make_shared<const T>(std::move(value)))
    {
    }
    const T &get() const
    {
        static const T empty{};
        return m_value ? *m_value : empty;
    }
    friend bool operator==(const SharedValue &a, const SharedValue &b)
    {
        return a.m_value == b.m_value || a.get() == b.get();
    }
    friend auto operator<=>(const SharedValue &a, const SharedValue &b)
    {
        return a.get() <=> b.get();
    }

private:
    std::shared_ptr<const T> m_value; ///< Null: a default value.
};

} // namespace fescuepond::detail

/// Declares the getter and the member of a field.
#define FESCUEPOND_FIELD_STATE(Type, name)                                                                             \
public:                                                                                                                \
    [[nodiscard]] const Type &name() const                                                                             \
    {                                                                                                                  \
        return m_##name;                                                                                               \
    }                                                                                                                  \
                                                                                                                       \
private:                                                                                                               \
    Type m_##name = {}

/// Declares the field `name` of an immutable value type; `withName` returns a copy with a new value for it.
#define FESCUEPOND_FIELD(Type, name, withName)                                                                         \
public:                                                                                                                \
    [[nodiscard]] auto withName(Type name) const &                                                                     \
    {                                                                                                                  \
        auto copy = *this;                                                                                             \
        copy.m_##name = std::move(name);                                                                               \
        return copy;                                                                                                   \
    }                                                                                                                  \
    [[nodiscard]] auto withName(Type name) &&                                                                          \
    {                                                                                                                  \
        auto moved = std::move(*this);                                                                                 \
        moved.m_##name = std::move(name);                                                                              \
        return moved;                                                                                                  \
    }                                                                                                                  \
    FESCUEPOND_FIELD_STATE(Type, name)

/// The same for a type whose functions are listed in a table.
#define FESCUEPOND_LISTED_FIELD(Type, name, withName)                                                                  \
public:                                                                                                                \
    [[nodiscard]] auto withName(Type name) const                                                                       \
    {                                                                                                                  \
        auto copy = *this;                                                                                             \
        copy.m_##name = std::move(name);                                                                               \
        return copy;                                                                                                   \
    }                                                                                                                  \
    FESCUEPOND_FIELD_STATE(Type, name)

/// The same for a field that is expensive to copy and seldom changed: copies of the object share it.
#define FESCUEPOND_SHARED_FIELD(Type, name, withName)                                                                  \
public:                                                                                                                \
    [[nodiscard]] const Type &name() const                                                                             \
    {                                                                                                                  \
        return m_##name.get();                                                                                         \
    }                                                                                                                  \
    [[nodiscard]] auto withName(Type name) const &                                                                     \
    {                                                                                                                  \
        auto copy = *this;                                                                                             \
        copy.m_##name = fescuepond::detail::SharedValue<Type>(std::move(name));                                        \
        return copy;                                                                                                   \
    }                                                                                                                  \
    [[nodiscard]] auto withName(Type name) &&                                                                          \
    {                                                                                                                  \
        auto moved = std::move(*this);                                                                                 \
        moved.m_##name = fescuepond::detail::SharedValue<Type>(std::move(name));                                       \
        return moved;                                                                                                  \
    }                                                                                                                  \
                                                                                                                       \
private:                                                                                                               \
    fescuepond::detail::SharedValue<Type> m_##name
