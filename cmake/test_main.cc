// The one main of every test program: Boost.Test's runner.
#define BOOST_TEST_MODULE hibiscuspick
#include <boost/test/unit_test.hpp>
