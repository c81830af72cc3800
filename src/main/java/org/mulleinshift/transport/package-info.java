/**
 * The event loop, HTTP client and server, peer connections and rate limits. Only this package
 * starts threads.
 */
package org.mulleinshift.transport;
