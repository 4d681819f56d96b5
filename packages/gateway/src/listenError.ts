/** The error for an address that a server cannot listen at. */
export interface ListenError {
  readonly kind: "cannot-listen";
  readonly detail: string;
}
