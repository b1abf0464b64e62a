/** Knows which software versions the targets of each service have had within the life of a stream. */
import { type Clock, type Service, serviceName } from "@linkfall/kernel";
import type { ListedTarget, Milliseconds } from "@linkfall/types";
import { createVersionRecords, type VersionRecordsPorts } from "./version-records.js";

/** Stands for the version of a target that a box of an earlier version has relayed without it. */
const unknownVersion = "";

export interface SoftwareVersionsPorts extends Pick<
  VersionRecordsPorts,
  "logger" | "stream" | "isWriter"
> {
  readonly clock: Clock;
  /** Time for which a version counts after its last target has gone. */
  readonly lifeMs: Milliseconds;
  /** Whether this box hears of changes of the list, from the store or from most other boxes. */
  hasCurrentList(): boolean;
}

export interface SoftwareVersions extends Service {
  /** Records the list entry of a target; returns whether it was listed with another version before. */
  recordListed(target: Pick<ListedTarget, "id" | "service" | "softwareVersion">): boolean;
  /** Records that a target has gone. */
  recordGone(id: string): void;
  /** Versions that the service has had within the life of a stream, as far as this box knows. */
  versionsOf(service: string): readonly string[];
  /**
   * The version of all targets at which a stream of the service can have begun; undefined if there may be several, or if
   * this box cannot tell.
   */
  soleVersion(service: string): string | undefined;
  /** Reads which versions all boxes have recorded in the store; resolves with whether that succeeded. */
  readRecords(): Promise<boolean>;
  /** Calls the listener when a service has targets of a version that it did not have before, besides those it had. */
  onFurtherVersion(listener: (service: string) => void): void;
}

export const softwareVersionsName = serviceName<SoftwareVersions>("software-versions");

interface VersionUse {
  targets: number;
  /** Latest time at which a target of the version was known. */
  lastKnownAt: Milliseconds;
}

interface KnownTarget {
  readonly service: string;
  readonly version: string;
}

export function createSoftwareVersions(ports: SoftwareVersionsPorts): SoftwareVersions {
  const { clock, lifeMs } = ports;
  const startedAt = clock.now();
  const usesByService = new Map<string, Map<string, VersionUse>>();
  const targets = new Map<string, KnownTarget>();
  const listeners: ((service: string) => void)[] = [];

  const useOf = ({ service, version }: KnownTarget): VersionUse => {
    const uses = usesByService.get(service) ?? new Map<string, VersionUse>();
    usesByService.set(service, uses);
    const existing = uses.get(version);
    if (existing) return existing;
    const added = { targets: 0, lastKnownAt: clock.now() };
    uses.set(version, added);
    if (uses.size > 1) for (const listener of listeners) listener(service);
    return added;
  };
  const endUse = (target: KnownTarget) => {
    const use = useOf(target);
    use.targets -= 1;
    use.lastKnownAt = clock.now();
  };
  const versionsOf = (service: string): readonly string[] => {
    const uses = usesByService.get(service);
    if (!uses) return [];
    for (const [version, { targets: count, lastKnownAt }] of uses) {
      if (count === 0 && clock.now() - lastKnownAt > lifeMs) uses.delete(version);
    }
    return [...uses.keys()];
  };

  const knownVersionsOf = (service: string) =>
    versionsOf(service).filter((version) => version !== unknownVersion);

  const records = createVersionRecords({
    ...ports,
    current: () => new Map([...usesByService.keys()].map((name) => [name, knownVersionsOf(name)])),
    onRestored(service, versions) {
      for (const version of versions) useOf({ service, version });
    },
  });
  const knowsHistory = () => records.isRead() || clock.now() - startedAt > lifeMs;

  return {
    recordListed({ id, service, softwareVersion: version = unknownVersion }) {
      const known = targets.get(id);
      if (known?.service === service && known.version === version) return false;
      const target = { service, version };
      useOf(target).targets += 1;
      targets.set(id, target);
      if (known) endUse(known);
      return known !== undefined;
    },
    recordGone(id) {
      const known = targets.get(id);
      targets.delete(id);
      if (known) endUse(known);
    },
    versionsOf,
    soleVersion(service) {
      const versions = versionsOf(service);
      if (versions.length !== 1 || versions[0] === unknownVersion) return undefined;
      return knowsHistory() && ports.hasCurrentList() ? versions[0] : undefined;
    },
    readRecords: records.read,
    onFurtherVersion: (listener) => void listeners.push(listener),
    start: records.start,
    stop: records.stop,
  };
}
