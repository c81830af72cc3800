package org.mulleinshift.scenario;

/**
 * Adds the lines of one kind of fault. What a set of kinds has in common is drawn before the kind.
 *
 * @param <T> what the kinds of a set take besides the time and the length
 */
@FunctionalInterface
interface RandomFault<T> {
  /**
   * Adds the lines.
   *
   * @param at when the fault begins, seconds
   * @param length how long it lasts where its kind has a length, seconds
   */
  void add(double at, double length, T detail);
}
