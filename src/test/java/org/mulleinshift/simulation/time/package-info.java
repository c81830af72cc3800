/**
 * Clocks, event queues and random numbers for simulations, in virtual time, where events follow
 * each other without waiting, or in real time.
 */
package org.mulleinshift.simulation.time;
