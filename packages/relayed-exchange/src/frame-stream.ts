/** A bidirectional stream of frames between two boxes, which carries one exchange. */

export interface FrameStreamListener {
  onFrame(bytes: Buffer): void;
  /** The other side ended or cancelled the stream, or the connection was lost; called at most once. */
  onClosed(reason: string): void;
}

export interface FrameStream {
  write(frame: Buffer): void;
  /** Ends the stream after the frames that have been written. */
  end(): void;
  /** Ends the stream at once; the listener is not called again. */
  cancel(): void;
  /** Must be called before any frame arrives, thus without waiting. */
  listen(listener: FrameStreamListener): void;
}
