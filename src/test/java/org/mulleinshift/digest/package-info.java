/** The digest of behaviour: a hash of everything that the controllers send in each scenario. */
package org.mulleinshift.digest;
