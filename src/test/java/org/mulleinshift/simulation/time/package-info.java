/**
 * Time and chance for simulations: virtual time, in which events follow each other without waiting,
 * and real time.
 */
package org.mulleinshift.simulation.time;
