/** Checks MessagePack before it is decoded, as a short text may claim much. */

const OBJECT_BYTES = 64;
const VALUE_BYTES = 16;
/** Type of the extension that stands for `undefined`. */
const UNDEFINED_TYPE = 0;
const FIXED_EXTENSION = 0xd4;

/** Sizes of the values of one tag each that have a fixed size. */
const FIXED_SIZES: ReadonlyMap<number, number> = new Map([
  [0xc0, 0],
  [0xc2, 0],
  [0xc3, 0],
  [0xca, 4],
  [0xcb, 8],
  [0xcc, 1],
  [0xcd, 2],
  [0xce, 4],
  [0xcf, 8],
  [0xd0, 1],
  [0xd1, 2],
  [0xd2, 4],
  [0xd3, 8],
]);
/** Bytes of the length that follows a tag of texts and bytes. */
const LENGTH_SIZES: ReadonlyMap<number, number> = new Map([
  [0xc4, 1],
  [0xc5, 2],
  [0xc6, 4],
  [0xd9, 1],
  [0xda, 2],
  [0xdb, 4],
]);
/** Bytes of the length of arrays and maps, and values for each member. */
const CONTAINERS: ReadonlyMap<number, readonly [number, number]> = new Map([
  [0xdc, [2, 1]],
  [0xdd, [4, 1]],
  [0xde, [2, 2]],
  [0xdf, [4, 2]],
]);

/** What follows a tag. */
interface Extent {
  /** Bytes until the next tag. */
  readonly bytes: number;
  /** Values that belong to an array or map. */
  readonly members?: number;
}

/**
 * Returns an upper bound of what the values of a MessagePack document hold besides
 * texts and bytes; throws a `TypeError` for a document that claims more values
 * than it has, or that needs extensions.
 */
export function sizeOfPackedValues(packed: Uint8Array): number {
  const view = new DataView(
    packed.buffer,
    packed.byteOffset,
    packed.byteLength,
  );
  let size = 0;
  let offset = 0;
  for (let left = 1; left > 0; left--) {
    if (offset >= packed.length) throw new TypeError("Values are missing");
    const { bytes, members } = extentAt(view, offset);
    offset += 1 + bytes;
    size += members === undefined ? VALUE_BYTES : OBJECT_BYTES;
    left += members ?? 0;
    // Each value has a tag at least.
    if (offset + left - 1 > packed.length) {
      throw new TypeError("The document claims more values than it has");
    }
  }
  return size;
}

function extentAt(view: DataView, offset: number): Extent {
  const tag = view.getUint8(offset);
  if (tag < 0x80 || tag >= 0xe0) return { bytes: 0 };
  if (tag < 0x90) return { bytes: 0, members: 2 * (tag & 0x0f) };
  if (tag < 0xa0) return { bytes: 0, members: tag & 0x0f };
  if (tag < 0xc0) return { bytes: tag & 0x1f };
  const fixed = FIXED_SIZES.get(tag);
  if (fixed !== undefined) return { bytes: fixed };
  const lengthSize = LENGTH_SIZES.get(tag);
  if (lengthSize !== undefined) {
    const length = lengthAt(view, { offset: offset + 1, size: lengthSize });
    return { bytes: lengthSize + length };
  }
  const container = CONTAINERS.get(tag);
  if (container !== undefined) {
    const [size, factor] = container;
    const length = lengthAt(view, { offset: offset + 1, size });
    return { bytes: size, members: factor * length };
  }
  const isUndefined = tag === FIXED_EXTENSION &&
    view.getUint8(offset + 1) === UNDEFINED_TYPE;
  if (isUndefined) return { bytes: 2 };
  throw new TypeError(`Unexpected tag ${tag}`);
}

/** Throws a `RangeError` behind the end. */
function lengthAt(
  view: DataView,
  { offset, size }: { offset: number; size: number },
): number {
  if (size === 1) return view.getUint8(offset);
  return size === 2 ? view.getUint16(offset) : view.getUint32(offset);
}
