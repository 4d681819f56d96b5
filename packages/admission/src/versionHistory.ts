import type { Milliseconds, ServiceId } from "@wasabivane/common";
import type { SoftwareVersion, Upstream } from "./types.ts";
import type { UpstreamDirectory } from "./upstreamDirectory.ts";

/** Options of a {@link VersionHistory}. */
export interface VersionHistoryOptions {
  readonly directory: UpstreamDirectory;
  /** Longest time for which a stream may go on. */
  readonly maximumStreamAge: () => Milliseconds;
  /** Since when the directory has had all upstreams. */
  readonly completeSince: Milliseconds;
  /** Whether the directory has all upstreams now. */
  readonly isCurrent: () => boolean;
  /**
   * Whether streams for which a service is asked may have begun at another one
   * since a time.
   */
  readonly isMixed?: (service: ServiceId, since: Milliseconds) => boolean;
}

/**
 * Tracks which software versions each service has had. A service that has had only
 * one for as long as a stream can last began all its streams at that version; a
 * host shows this only for the time in which its list was current.
 */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  #completeSince: Milliseconds;
  #hasBeenCurrent = false;
  #directoryVersion = -1;
  #gaps: number;
  /** When each version was listed last. */
  readonly #listedAt = new Map<ServiceId, Map<SoftwareVersion, Milliseconds>>();
  /** Entries that came since the last update, some of which may be gone. */
  readonly #seen: Upstream[] = [];

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
    this.#completeSince = options.completeSince;
    this.#gaps = options.directory.gaps;
    options.directory.addListener((upstream) => this.#seen.push(upstream));
  }

  /** Records changes of the directory; called often enough to see each version. */
  update(now: Milliseconds): void {
    const { directory } = this.#options;
    this.#checkCurrent(now);
    const isSame = directory.version === this.#directoryVersion;
    if (isSame && this.#seen.length === 0) return;
    this.#directoryVersion = directory.version;
    this.#endListings(now);
    for (const upstream of this.#seen.splice(0)) {
      this.#recordListing(upstream, now);
    }
    for (const upstream of directory.all()) {
      this.#recordListing(upstream, Infinity);
    }
  }

  /**
   * Returns the version at which all streams of a service began that may still go
   * on; `undefined` if there may be several.
   */
  onlyVersion(
    service: ServiceId,
    now: Milliseconds,
  ): SoftwareVersion | undefined {
    this.update(now);
    const since = now - this.#options.maximumStreamAge();
    if (this.#completeSince > since) return undefined;
    if (this.#options.isMixed?.(service, since) === true) return undefined;
    const versions = [...this.#listedAt.get(service) ?? []]
      .filter(([, listedAt]) => listedAt > since);
    return versions.length === 1 ? versions[0]![0] : undefined;
  }

  /** What came and went unseen, or while the list was not current, is not known. */
  #checkCurrent(now: Milliseconds): void {
    const isCurrent = this.#options.isCurrent();
    if (!isCurrent && this.#hasBeenCurrent) this.#completeSince = now;
    this.#hasBeenCurrent ||= isCurrent;
    const { gaps } = this.#options.directory;
    if (gaps > this.#gaps) this.#completeSince = now;
    this.#gaps = gaps;
  }

  /** Versions that are listed count as listed until now. */
  #endListings(now: Milliseconds): void {
    const since = now - this.#options.maximumStreamAge();
    for (const versions of this.#listedAt.values()) {
      for (const [version, listedAt] of versions) {
        if (listedAt === Infinity) versions.set(version, now);
        else if (listedAt <= since) versions.delete(version);
      }
    }
  }

  #recordListing(
    { service, softwareVersion }: Upstream,
    until: Milliseconds,
  ): void {
    const versions = this.#listedAt.get(service) ?? new Map();
    this.#listedAt.set(service, versions.set(softwareVersion, until));
  }
}
