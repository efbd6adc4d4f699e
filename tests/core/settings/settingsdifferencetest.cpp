// The keys whose values differ between two settings files.

#include "core/settings/settingsdifference.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

StringList changed(const std::string &before, const std::string &after)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<StringList> {
            return changedSettings("a.yaml", before, after);
        },
        [](const Findings &findings) {
            return StringList{toString(findings)};
        },
        [] {
            return StringList{"failed"};
        });
}

} // namespace

TEST(SettingsDifference, ListsTheKeysWhoseValuesDiffer)
{
    EXPECT_EQ(changed("name: a\nzone: z\n", "zone: z\nname: a\n"), StringList());
    EXPECT_EQ(changed("name: a\nzone: z\n", "name: b\nzone: y\n"), (StringList{"name", "zone"}));
}

TEST(SettingsDifference, ExplicitDefaultIsNoChange)
{
    EXPECT_EQ(changed("name: a\n", "name: a\nhttp_threads: 32\n"), StringList());
    EXPECT_EQ(changed("name: a\n", "name: a\nhttp_threads: 33\n"), StringList{"http_threads"});
}

TEST(SettingsDifference, TextThatIsNotAMapIsAFinding)
{
    EXPECT_NE(changed("name: a\n", "just text").front().find("must be a map"), std::string::npos);
}

} // namespace fescuepond
