#define BOOST_TEST_MODULE BANYANLOCK_TEST_MODULE
#include <boost/test/unit_test.hpp>
