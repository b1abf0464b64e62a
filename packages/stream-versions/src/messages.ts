/** Messages by which boxes tell and ask each other which software versions began streams. */

/** Key of a stream; see `streamKey`. */
export type StreamKey = string;

/** Streams that targets of one software version began. */
export interface BegunStreams {
  /** Null if the version of the target is in doubt, so that the streams must not go on. */
  readonly version: string | null;
  readonly keys: readonly StreamKey[];
}

/** A stream whose version the sender asks for. */
export interface WantedStream {
  readonly key: StreamKey;
  readonly service: string;
}

export interface StreamVersionsMessage {
  readonly told: readonly BegunStreams[];
  readonly wanted: readonly WantedStream[];
  /** Streams that the recipient is to record in the store before it answers; absent if there are none. */
  readonly record?: readonly BegunStreams[];
}

export interface StreamVersionsReply {
  /** Versions of the wanted streams that the recipient knows; null if a version is in doubt. */
  readonly known: Readonly<Record<StreamKey, string | null>>;
  /** Software versions that the services of the wanted streams have had within the life of a stream. */
  readonly served: Readonly<Record<string, readonly string[]>>;
  /**
   * The only version at which a stream of the service can have begun, by a list that the recipient takes for current; without
   * the services of which there may be several. Absent from earlier versions.
   */
  readonly sole?: Readonly<Record<string, string>>;
  /** Whether the recipient records streams in the store if it is asked to; absent from earlier versions. */
  readonly records?: boolean;
}
