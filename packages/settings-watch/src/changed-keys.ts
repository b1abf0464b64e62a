/** What differs between two readings of settings. */

/** Sections of settings by name, each with values by key. */
export type SettingsSections = Readonly<Record<string, object | undefined>>;

/** Values, written out, by `section.key`. */
function flatten(settings: SettingsSections): ReadonlyMap<string, string> {
  const values = Object.entries(settings).flatMap(([section, keys]) =>
    Object.entries(keys ?? {}).map(
      ([key, value]) => [`${section}.${key}`, JSON.stringify(value)] as const,
    ),
  );
  return new Map(values);
}

/** Names the keys whose values differ, as `section.key`, in the order of the earlier reading. */
export function changedKeys(before: SettingsSections, after: SettingsSections): readonly string[] {
  const previous = flatten(before);
  const current = flatten(after);
  const keys = new Set([...previous.keys(), ...current.keys()]);
  return [...keys].filter((key) => previous.get(key) !== current.get(key));
}
