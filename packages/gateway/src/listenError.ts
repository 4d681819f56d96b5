/** Why a port could not be listened at. */
export interface ListenError {
  readonly kind: "cannot-listen";
  readonly detail: string;
}
