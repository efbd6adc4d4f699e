// The event log's line format: a value can't break a line or forge another event.

#include "core/kernel/eventlog.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

std::string logged(const std::string &value)
{
    testing::internal::CaptureStdout();
    {
        Event("sample").with("key", value);
    }
    return testing::internal::GetCapturedStdout();
}

} // namespace

TEST(EventLog, PlainValueIsNotQuoted)
{
    EXPECT_NE(logged("plain").find(" event=sample key=plain\n"), std::string::npos);
}

TEST(EventLog, ValueWithSeparatorsIsQuoted)
{
    EXPECT_NE(logged("a b").find("key=\"a b\"\n"), std::string::npos);
    EXPECT_NE(logged("two\nlines event=forged").find("key=\"two\\nlines event=forged\"\n"), std::string::npos);
    EXPECT_NE(logged("").find("key=\"\"\n"), std::string::npos);
}

} // namespace fescuepond
