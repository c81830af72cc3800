/**
 * Weighted max-min fair shares and the minimum shares derived from them. Works on shares alone and
 * does not depend on jobs, machines or shards.
 */
package org.mulleinshift.fairness;
