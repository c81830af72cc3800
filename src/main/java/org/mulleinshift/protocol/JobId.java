package org.mulleinshift.protocol;

/** The id of a job, chosen by the user who submits it. */
public record JobId(String value) implements TextId<JobId> {
  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof JobId id && id.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
