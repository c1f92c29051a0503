// Entry point of the tests.
#define DOCTEST_CONFIG_IMPLEMENT
#include <csignal>
#include <doctest/doctest.h>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN); // as in the programs
    return doctest::Context(argc, argv).run();
}
