//! The links between each two processes of a group, with partitions and other faults.

use super::faults::{separated_pairs, Direction, LinkFault};
use super::Link;
use std::io;
use std::net::SocketAddr;

/// A link for each ordered pair of processes, which are numbered from 0.
pub struct Mesh {
    size: usize,
    /// By source, then by target; `None` from a process to itself.
    links: Vec<Option<Link>>,
    next_id: u32,
}

/// Identifies a fault on one or several links, to end it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultId(u32);

impl Mesh {
    /// Links without faults among `size` processes.
    pub fn open(size: usize, seed: u64) -> io::Result<Self> {
        let link = |index: usize| match index / size == index % size {
            true => Ok(None),
            false => Link::open(seed.wrapping_mul(31).wrapping_add(index as u64)).map(Some),
        };
        let links = (0..size * size).map(link).collect::<io::Result<_>>()?;
        Ok(Mesh { size, links, next_id: 1 })
    }

    /// The number of processes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// The link through which one process connects to another; `None` to itself.
    pub fn link(&self, from: usize, to: usize) -> Option<&Link> {
        self.links.get(from * self.size + to).and_then(Option::as_ref)
    }

    /// Sets the address on which a process listens; `None` while it does not listen.
    pub fn set_process_address(&self, process: usize, address: Option<SocketAddr>) {
        for from in 0..self.size {
            if let Some(link) = self.link(from, process) {
                link.set_target(address);
            }
        }
    }

    /// The next unused id.
    fn new_id(&mut self) -> FaultId {
        self.next_id += 1;
        FaultId(self.next_id - 1)
    }

    /// Holds back all that one process sends to another, whichever of them opened the connection. The opposite direction
    /// still works.
    pub fn cut_direction(&mut self, from: usize, to: usize) -> io::Result<FaultId> {
        self.cut_pairs(&[(from, to)])
    }

    /// Does the same as [`Mesh::cut_direction`] for several pairs, as one fault.
    pub fn cut_pairs(&mut self, pairs: &[(usize, usize)]) -> io::Result<FaultId> {
        let id = self.new_id();
        for (from, to) in pairs {
            // One fault may cut a link in both directions, so each direction has its own id on the link: twice the id of the
            // fault for the forward one, and one more for the backward one.
            if let Some(link) = self.link(*from, *to) {
                link.begin_fault(id.0 * 2, LinkFault::Cut(Direction::Forward))?;
            }
            if let Some(link) = self.link(*to, *from) {
                link.begin_fault(id.0 * 2 + 1, LinkFault::Cut(Direction::Backward))?;
            }
        }
        Ok(id)
    }

    /// Cuts sets of processes off from each other. A process in no set still reaches all.
    pub fn partition(&mut self, sets: &[&[usize]]) -> io::Result<FaultId> {
        self.cut_pairs(&separated_pairs(sets))
    }

    /// Begins a fault of the connections that one process opens to another.
    pub fn begin_fault(&mut self, from: usize, to: usize, fault: LinkFault) -> io::Result<FaultId> {
        let id = self.new_id();
        // Ids on a link are those of the mesh times two, see cut_pairs.
        if let Some(link) = self.link(from, to) {
            link.begin_fault(id.0 * 2, fault)?;
        }
        Ok(id)
    }

    /// Ends a fault on all links.
    pub fn end_fault(&self, id: FaultId) -> io::Result<()> {
        for link in self.links.iter().flatten() {
            link.end_fault(id.0 * 2)?;
            link.end_fault(id.0 * 2 + 1)?;
        }
        Ok(())
    }

    /// Ends all faults.
    pub fn end_all_faults(&self) -> io::Result<()> {
        self.links.iter().flatten().try_for_each(Link::end_all_faults)
    }
}
