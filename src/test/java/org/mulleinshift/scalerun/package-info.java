/**
 * The scale run: packaged controllers as real processes, with simulated services and workers on
 * loopback addresses, in real time.
 */
package org.mulleinshift.scalerun;
