/**
 * The scale run: packaged controllers as real processes beside simulated services and workers on
 * the loopback range, in real time.
 */
package org.mulleinshift.scalerun;
