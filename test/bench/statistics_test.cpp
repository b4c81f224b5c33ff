/// @file
/// Tests of src/bench/statistics.h.
#include "bench/statistics.h"

#include <doctest/doctest.h>

namespace fernmoor::bench {

TEST_CASE("quantiles are by nearest rank, whatever the order of arrival") {
  Samples samples;
  CHECK(samples.quantile(0.5) == 0);
  for (int value = 100; value >= 1; --value) {
    samples.add(value);
  }
  CHECK(samples.quantile(0) == 1);
  CHECK(samples.quantile(0.5) == 50);
  CHECK(samples.quantile(0.99) == 99);
  CHECK(samples.quantile(0.999) == 100);
  CHECK(samples.mean() == doctest::Approx(50.5));
}

TEST_CASE("Jain's index runs from 1/n to 1") {
  CHECK(jainIndex({2, 2, 2, 2}) == doctest::Approx(1));
  CHECK(jainIndex({1, 0, 0, 0}) == doctest::Approx(0.25));
  CHECK(jainIndex({0, 0}) == 1);
}

TEST_CASE("a line is fitted and its quality told") {
  const LineFit exact = fitLine({{1, 5}, {2, 7}, {4, 11}});
  CHECK(exact.slope == doctest::Approx(2));
  CHECK(exact.intercept == doctest::Approx(3));
  CHECK(exact.determination == doctest::Approx(1));
  CHECK(exact.at(10) == doctest::Approx(23));
  const LineFit loose = fitLine({{0, 0}, {1, 4}, {2, 1}, {3, 6}});
  CHECK(loose.determination < 0.9);
}

}  // namespace fernmoor::bench
