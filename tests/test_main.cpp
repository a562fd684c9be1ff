#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    // The leak detector replaces operator new, which the standard library's
    // static caches defeat; leaks are checked by the sanitizer build instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
