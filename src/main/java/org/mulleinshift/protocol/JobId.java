package org.mulleinshift.protocol;

/** A job's id, chosen by its user. */
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
