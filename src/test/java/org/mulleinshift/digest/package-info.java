/** The behaviour digest: a hash of all messages that the controllers send in each scenario. */
package org.mulleinshift.digest;
