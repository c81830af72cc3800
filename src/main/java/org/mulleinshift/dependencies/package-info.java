/**
 * Jobs that await other jobs: who awaits whom, what is ready, what is cancelled with what, and what
 * a job inherits from those that need it. All of it follows from what is stored, so that every
 * leader concludes the same.
 */
package org.mulleinshift.dependencies;
