package org.mulleinshift.protocol;

/** The name of a team; quotas apply to teams. */
public record TeamId(String value) implements TextId<TeamId> {
  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TeamId id && id.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
