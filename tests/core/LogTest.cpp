#include "core/Log.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

namespace banyanlock
{

BOOST_AUTO_TEST_SUITE(LogTest)

// The sink drops lines that don't fit into the pipe, so a line that quotes large input would be lost.
BOOST_AUTO_TEST_CASE(lineThatQuotesLargeInputIsShortenedAndWritten)
{
    std::array<int, 2> descriptors{};
    BOOST_REQUIRE(pipe(descriptors.data()) == 0);
    const pid_t child = fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        dup2(descriptors[1], STDOUT_FILENO);
        Log::start("test", "log", LogLevel::Info);
        Log::warning("input_refused", {{"reason", "\xff" + std::string(1'000'000, 'x')}});
        _exit(0);
    }
    close(descriptors[1]);
    std::string line;
    std::array<char, 65536> part{};
    for (ssize_t size = 0; (size = read(descriptors[0], part.data(), part.size())) > 0;) {
        line.append(part.data(), static_cast<std::size_t>(size));
    }
    close(descriptors[0]);
    int status = 0;
    waitpid(child, &status, 0);
    BOOST_TEST(status == 0);
    constexpr std::size_t maxLineBytes = 4000;
    BOOST_TEST(line.size() < maxLineBytes);
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    BOOST_REQUIRE(json.is_object());
    BOOST_TEST(json["event"] == "input_refused");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
