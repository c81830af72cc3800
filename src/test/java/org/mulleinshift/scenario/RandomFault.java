package org.mulleinshift.scenario;

/**
 * Adds the lines of one kind of fault. The parameters are chosen before the kind, since all kinds
 * of a set share them.
 *
 * @param <T> the parameter of a set of kinds besides the time and the length
 */
@FunctionalInterface
interface RandomFault<T> {
  /**
   * Adds the lines.
   *
   * @param at when the fault begins, seconds
   * @param length how long it lasts, seconds; ignored by kinds that have no duration
   */
  void add(double at, double length, T detail);
}
