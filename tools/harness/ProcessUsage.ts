/** Processor time and memory of a child, as the kernel counts them. */
import { readFileSync } from 'node:fs';

/** Clock ticks of /proc; the value of Linux on all common machines. */
const TICKS_PER_SECOND = 100;

/** Processor time of a process in milliseconds. */
export function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  // utime and stime are fields 14 and 15; the first two were cut off.
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

/** Largest resident memory so far, in megabytes. */
export function readPeakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024;
}

/** Resident memory now, in megabytes. */
export function readMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024;
}

/** Bytes that the process has passed to write calls: sockets, log and disk. */
export function readWrittenBytes(pid: number): number {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0);
}
