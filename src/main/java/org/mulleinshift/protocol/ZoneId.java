package org.mulleinshift.protocol;

/** The name of a zone of the cloud. */
public record ZoneId(String value) implements TextId<ZoneId> {
  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ZoneId id && id.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
